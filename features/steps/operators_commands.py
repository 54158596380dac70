"""Steps that run the operators' commands against a running fleet."""

import subprocess
import sys

from behave import then

_NOTE = """
name = "second"
team = "orders"

[[additions.budgets]]
name = "night"
initial_tokens = 50
"""


@then('these commands give the expected status and output at VM {index:d}')
def commands(context, index):
    fleet = context.fleet
    note = fleet.path / 'second.toml'
    note.write_text(_NOTE)
    options = (
        f'--url=http://{fleet.vms[index].operators}',
        f'--key_file={fleet.path / "operators.key"}',
    )
    for row in context.table:
        words = row['command'].replace('NOTE', str(note)).split()
        outcome = subprocess.run(
            (sys.executable, '-m', 'teaseldale', *words, *options),
            capture_output=True,
            text=True,
            timeout=60,
        )
        output = outcome.stdout + outcome.stderr
        assert outcome.returncode == int(row['status']), (words, output)
        assert row['prints'] in output, (words, output)
