"""Steps that run the example of the embedding page."""

import pathlib

from behave import then, when


@when('the example of {page} is run')
def run_example(context, page):
    text = pathlib.Path(page).read_text()
    example = text.partition('```python\n')[2].partition('```')[0]
    context.example = {}
    exec(compile(example, page, 'exec'), context.example)


@then('its budget is billed for its request')
def example_billed(context):
    assert context.example['state'].billed_tokens == 60
