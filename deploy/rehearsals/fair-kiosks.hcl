about = "kiosks of one club retry in a loop at gateways that others' members use too, in a renewal rush"
seed  = 5
site  = "sites/two-clubs.hcl"

deployment {
  clubs = ["town"]
  link  = "260MB"
}
clients {
  members = ["amber", "birch", "cedar"]
}
fair {}

phase "before" {
  for  = "8s"
  rate = 190
  expect { 
    in_time = 0.95
  }
}
phase "storm" {
  for  = "15s"
  rate = 190
  expect {
    in_time  = 0.5
    renewals = 0.95
  }
}
phase "after" {
  for  = "8s"
  rate = 190
  expect {
    in_time = 0.9
  }
}

event "storm" {
  at     = "8s"
  for    = "15s"
  kiosks = 300
  member = "amber"
}
