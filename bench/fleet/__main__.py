"""Plays the load of a site on a simulated fleet with several policies.

python -m bench.fleet examples/fleet/slow-spell.json
"""

import argparse
import json

from . import Fleet, Policy, load_site, summarize


def main() -> None:
    """Play the site with each policy and print what callers get."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", help="JSON file that describes the fleet and its load")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="print one object a line")
    options = parser.parse_args()
    site = load_site(options.site)
    for policy in Policy:
        records = Fleet(site, policy, options.seed).play()
        summary = summarize(records, site.target_s)
        if options.json:
            print(json.dumps({"policy": policy} | summary._asdict()))
        else:
            print(f"{policy:10}", summary.describe())


if __name__ == "__main__":
    main()
