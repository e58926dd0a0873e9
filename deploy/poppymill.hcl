# The operator's file of a poppymill gateway, as an example: `serve --operator deploy/poppymill.hcl`, or POPPYMILL_FILE.
# All of it may be left out; a gateway without a file goes by its configuration alone. `check --operator` reads it and
# says what is wrong. It is read again on SIGHUP, whole or not at all.

# How lines are written to standard error.
log {
  level          = "info" # error, warn, info, debug
  format         = "text" # or json, one document a line
  counters_every = "10s"  # from 1s to 1h
}
