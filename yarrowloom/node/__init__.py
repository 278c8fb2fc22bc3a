"""Core and edge nodes: the state machines of the other packages put together, and the runtime that drives them."""
