"""Stand-ins, demonstration, benchmarks and soak tests of cowslipgate."""
