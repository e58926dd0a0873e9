about = "forged links come ten times as often as honest ones"
seed  = 7
site  = "sites/two-clubs.hcl"

links {
  life    = "20s"
  renew   = "20s"
  doubled = 0.1
}

phase "before" {
  for  = "6s"
  rate = 150
  expect {
    in_time = 0.95
  }
}
phase "forgeries" {
  for  = "12s"
  rate = 150
  expect {
    in_time = 0.93
    renewals = 0.95
  }
}
phase "after" {
  for  = "6s"
  rate = 150
  expect {
    in_time = 0.95
  }
}

event "forge" {
  at     = "6s"
  for    = "12s"
  factor = 10
}
