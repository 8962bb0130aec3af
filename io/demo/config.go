package demo

import (
	"os"

	"rosemarygap/core/operator"
	"rosemarygap/core/wire"

	"github.com/pkg/errors"
)

func readConfig(path string) (*operator.Document, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open configuration")
	}
	defer f.Close()
	var d operator.Document
	if err := wire.Decode(f, wire.MaxControlBody, &d); err != nil {
		return nil, err
	}
	return &d, nil
}
