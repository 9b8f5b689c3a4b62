"""State charts of the product, as JSON documents."""
