package main

import (
	"fmt"
	"os"

	"github.com/sirupsen/logrus"

	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/virtual"
)

func main() {
	s, err := script.Load(os.Args[1])
	if err != nil {
		panic(err)
	}
	virtual.Run(s, virtual.Options{Log: func(g int) logrus.FieldLogger {
		f, _ := os.Create(fmt.Sprintf("/tmp/probe-%d.log", g))
		l := logrus.New()
		l.SetOutput(f)
		return l
	}})
}
