"""`python -m rowanrack` is the command line."""

from rowanrack.cli import main

if __name__ == "__main__":
    main()
