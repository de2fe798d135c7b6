"""Random schedules of failures against the real parts, in virtual time."""
