"""Protocol front ends. Each implements one family of protocols and submits messages to the exchange."""
