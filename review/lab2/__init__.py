"""Stand-ins and helpers of the cases from 4 on."""
