about = "97% of the edge caches are replaced by empty ones while the list lags"
seed  = 3
site  = "sites/two-clubs.hcl"

phase "warm up" {
  for  = "15s"
  rate = 190
}
phase "before" {
  for  = "8s"
  rate = 190
  expect { in_time = 0.95 }
}
phase "deploy" {
  for  = "20s"
  rate = 190
  expect { in_time = 0.5 }
}
phase "after" {
  for  = "15s"
  rate = 190
  expect {
    in_time     = 0.85
    hits        = 0.3
    hits_within = "10s"
  }
}

event "lag" {
  at    = "22s"
  for   = "24s"
  delay = "2s"
}
event "replace" {
  at    = "23s"
  share = 0.97
  over  = "18s"
}
