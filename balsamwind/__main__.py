"""Start the command line: ``python -m balsamwind``."""

from balsamwind import cli

if __name__ == '__main__':
    cli.main()
