# The operator's file of a poppymill gateway, as an example: `serve --operator deploy/poppymill.hcl`, or POPPYMILL_FILE.
# All of it may be left out; a gateway without a file goes by its configuration alone. `check --operator` reads it and
# says what is wrong. It is read again on SIGHUP, whole or not at all.

# How lines are written to standard error.
log {
  level          = "info" # error, warn, info, debug
  format         = "text" # or json, one document a line
  counters_every = "10s"  # from 1s to 1h
}

# Signed links and tokens. Off unless this block stands here: docs/operate/links.md.
#
# links {
#   keys         = "/etc/poppymill/keys.hcl"  # `poppymill link keys new`; taken up whenever it changes
#   base         = "https://media.example"    # a part's URI is BASE/TYPE/OBJECT/PART
#   form         = "uri-signing"              # RFC 9246, or compact: Expires, KeyName, Signature
#   from         = "query"                    # query, header or cookie
#   name         = "URISigningPackage"        # of the parameter, header or cookie
#   audience     = ["amber", "gateway-a"]     # names by which aud may mean this gateway
#   skew         = "2s"                       # that clocks may differ
#   longest      = "24h"                      # that a link may live from now on
#   chain        = "6h"                       # from iat, past which no successor lives
#   renew_within = "30s"                      # of its end, a link gets its successor with the answer
#   reuse        = 0                          # downloads that one link admits where nothing is written; 0: any number
#   memory       = "4MiB"                     # for what is spent, and as much for what was found good
#   checks       = 50                         # signatures a second for one source
#   all_checks   = 2000                       # for all sources that have not shown a good one lately
#   spenders     = ["gateway-a", "gateway-b"] # that share what must run once: a hash of the link names one of them
#   boxes        = "5s"                       # that a link for a box lives, which goes with each pull; none without it
#   store        = "/var/lib/poppymill/spent" # what is spent survives a restart
# }

# Fair shares among clubs and their clients. Off unless this block stands here: docs/operate/fair.md.
#
# fair {
#   club         = "header X-Club"   # who names the club of a request; without it all are of one
#   client       = "link"            # sub of the signed link, "address", or "header NAME"
#   ahead        = ["renewal"]       # types that go first within a club's share, never beyond it
#   clubs        = 32                # told apart exactly
#   flows        = 256               # hashed places for light clients, of each club
#   heavy        = 64                # clients told apart exactly, as they cost most
#   change       = "10s"             # after which clients that collide are parted
#   queue        = 2048              # downloads that wait at a time
#   slack        = "250ms"           # around its time within which an appointment holds
#   booked       = 0.7               # of what is carried, that may be booked ahead
#   longest_wait = "20s"             # that a client may be told to stay away, as far as the platform allows it
#   weight "amber" {
#     is = 2
#   }
# }

# Gateways that agree on who is there and on one log. Off unless this block stands here: docs/operate/quorum.md. Peers speak plain
# frames: listen on an address that only gateways reach.
#
# quorum {
#   listen    = "127.0.0.1:7101"
#   address   = "127.0.0.1:7101"          # where peers are told to reach this gateway; without it, what listen says
#   store     = "/var/lib/poppymill/g1"   # without one this gateway follows and never votes
#   founders  = ["g1", "g2", "g3"]        # that vote at first: 1, 3, 5 or 7
#   beat      = "100ms"
#   election  = "1s"                      # at least five beats
#   lease     = "3s"                      # at least two elections
#   slow_disk = "500ms"
#   replace   = "1m"                      # for how long a voter must be gone before another gets its vote
#   votes     = 3                         # how many are to vote; others are brought up while there are fewer
#   keep      = 2000                      # entries kept for those that lag
#   members   = 600                       # names remembered
#   peer "g2" {
#     address = "127.0.0.1:7102"
#   }
#   peer "g3" {
#     address = "127.0.0.1:7103"
#   }
# }

# Work on behalf of all gateways, with one owner at a time. Off unless this block stands here, beside quorum: docs/operate/owner.md.
#
# jobs {
#   effect       = "2s"    # after which a step that nobody answered is taken for lost
#   rest         = "100ms" # for which a job rests after a step that did not run; twice as long each time
#   longest_rest = "5s"
#   hold         = "2s"    # for which a gateway that was lost is given nothing after its return; twice as long each time
#   longest_hold = "1m"
#   warm_rounds  = 0       # steps of a job that fills an edge cache ahead when it starts; 0: none
#   warm_each    = 24      # objects of each
#   again        = "1s"    # after which what was asked for in vain is asked for anew
# }

# Purges that the gateways agree on (docs/operate/purges.md); needs quorum and jobs. The same in every file.
# purges {
#   delay = "30s"         # past which no answer comes from an older copy
#   skew  = "500ms"       # by which clocks may be apart
#   rate  = 0             # objects a second that go out; 0: all at once
#   batch = 200
#   held  = 20000         # bounds remembered one by one
#   fills = 0             # a second, of all gateways, past which the next batch waits; needs a rate
# }

# Machines out for work, in an order that the gateways settle. Off unless this block stands here, beside jobs: docs/operate/maintenance.md.
#
# machines {
#   version  = 1          # the highest holds for all
#   most     = 1          # out at a time, losses counted; 0: no such limit
#   per_club = 1
#   per_zone = 1
#   boxes    = 0.2        # share of all edge caches; also gateways, hubs
#   reserve  = 0.1        # beyond a club's peak that what is left there has to carry
#   begin    = "1m"
#   drain    = "30s"
#   silent   = "back"     # or "out"
#   warm     = "1m"       # after which what is back counts as warm at the latest
#   warm_share = 0.8      # of what its like hold, when it counts as warm before that; 0: by its time alone
#   overdue  = 2          # times the time asked for
#   grace    = "1s"
#   machine "rack-7" {
#     club     = "amber"
#     zone     = "room-2"
#     gateways = ["g7"]
#     boxes    = ["edge-12", "edge-13"]
#     carries  = 40       # downloads a second, of its club's peak
#   }
# }
