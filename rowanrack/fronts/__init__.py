"""The fronts: each speaks one family of protocols and hands messages to the exchange."""
