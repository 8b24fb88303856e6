"""Stand-ins, demonstration and measurements of cowslipgate."""
