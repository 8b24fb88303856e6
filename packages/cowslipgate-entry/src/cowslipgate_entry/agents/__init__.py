"""Work for agents and what they tell of it."""
