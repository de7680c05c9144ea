"""Tests of the results file. Run with `python3 -m unittest discover -s days/tests`."""

import pathlib
import sys
import unittest

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(FOLDER))

import results_file  # noqa: E402  (the folder is not a package)


class CommittedResults(unittest.TestCase):
    def test_readme_table_matches_the_committed_results(self):
        results = results_file.Results(FOLDER / "results" / "before.tsv")
        self.assertIn(results_file.markdown_table(results), (FOLDER / "README.md").read_text())


if __name__ == "__main__":
    unittest.main()
