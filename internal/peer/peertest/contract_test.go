package peertest_test

import (
	"context"
	"testing"

	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/peer/peercontract"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
)

func TestContract(t *testing.T) {
	peercontract.Run(t, func(t *testing.T, handler peer.Handler) peercontract.Network {
		const address = "gate"
		network := peertest.NewNetwork(1)
		ctx, cancel := context.WithCancel(t.Context())
		network.Listen(ctx, address, peercontract.GateName, handler)
		return peercontract.Network{
			Entry:       network.Dialer(peercontract.EntryName),
			GateAddress: address,
			KillGate:    cancel,
		}
	})
}
