"""docs/SETTINGS.md agrees with the settings classes."""

from build_tools import make_settings_page


def test_page_is_up_to_date():
    page = make_settings_page.PAGE.read_text(encoding='utf-8')
    assert page == make_settings_page.make_page(), (
        'run python -m build_tools.make_settings_page'
    )
