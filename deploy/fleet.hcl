# The fleet's file: with FAWNSPOKE_FLEET naming it, a dispatcher is a member of a fleet. Without it nothing of this runs:
# no thread, no listener, no byte on disk, no line in the log. docs/fleet.md says what each setting does.
#
# One file for all. A dispatcher finds its own line by the `name` of its configuration.

cluster = "example"

# How long a member holds what it was given, from before it asked. Shorter: handed on sooner; longer: less talk.
term_s = 3.0
# How far any clock's rate may be from true. Beyond it the promise is gone.
clock_rate = 0.02
# How long others hold back on the word of a holder.
hold_most_s = 3.0

# Bounds of what the log takes on disk and of what waits to be sent, in megabytes.
disk_mb = 4
memory_mb = 4
# The keeper has the log cut after so many entries, and writes a round into it so often.
cut_after = 2000
keeper_round_s = 10.0
# Each act under a duty a line in the log: for tests and for looking into a fault.
history = false

# 1, 3, 5 or 7 vote; all others follow. Addresses that only the fleet reaches: members are not asked who they are.
member "n0" {
  at    = "127.0.0.1:7100"
  voter = true
}

member "n1" {
  at    = "127.0.0.1:7101"
  voter = true
}

member "n2" {
  at    = "127.0.0.1:7102"
  voter = true
}

member "n3" {
  at = "127.0.0.1:7103"
}
