"""Admission control, rate limits and retry budgets."""
