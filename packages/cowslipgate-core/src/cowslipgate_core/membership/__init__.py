"""Live entries, and the division of slots between them."""
