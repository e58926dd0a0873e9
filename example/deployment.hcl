about = "a small deployment to try a gateway against by hand"

deployment {
  gateways = 1
  box { count = 2 }
  hub { count = 1 }
}
type "video" {
  share   = 0.6
  work    = "200ms"
  target  = "600ms"
  expiry  = "6s"
  benefit = 2
  parts   = 100
}
type "pages" {
  share  = 0.3
  work   = "50ms"
  target = "300ms"
  expiry = "2500ms"
  fresh  = "8s"
}
type "renewal" {
  share  = 0.1
  work   = "20ms"
  target = "800ms"
  expiry = "3s"
  repeat = "non-retriable"
  write  = true
}
phase "open" {
  for  = "24h"
  rate = 0
}
