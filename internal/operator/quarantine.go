package operator

import (
	"strconv"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/quarantine"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Quarantine knows the requests and the parts of prompts that crash servers; *quarantine.Store
// implements it.
type Quarantine interface {
	// Entries lists the quarantines in force. Release ends one of them at all forwarders; it
	// returns false if there is none with the fingerprint.
	Entries() []quarantine.Entry
	Release(fingerprint quarantine.Fingerprint) bool
}

func (a *api) quarantineRoutes(e *echo.Echo) {
	if a.Quarantine == nil {
		return
	}
	e.GET("/v1/quarantines", a.quarantines)
	e.DELETE("/v1/quarantines/:fingerprint", a.release)
}

func (a *api) quarantines(c *echo.Context) error {
	list := []oriolebend.Quarantine{}
	for _, entry := range a.Quarantine.Entries() {
		q := oriolebend.Quarantine{
			Fingerprint: entry.Fingerprint.String(), Kind: string(entry.Kind), Servers: entry.Servers,
			LastCrash: entry.LastCrash, Left: oriolebend.Duration(entry.Left),
		}
		for _, part := range entry.Together {
			q.Together = append(q.Together, part.String())
		}
		list = append(list, q)
	}
	return a.writeOK(c, outcomeOK, list)
}

func (a *api) release(c *echo.Context) error {
	text := c.Param("fingerprint")
	fingerprint, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return refuse(oriolebend.ReasonMalformed, "not a fingerprint: "+text)
	}
	if !a.Quarantine.Release(quarantine.Fingerprint(fingerprint)) {
		return refuse(oriolebend.ReasonUnknownRequest, "no quarantine has the fingerprint "+text)
	}
	who, _ := c.Get(whoKey).(string)
	a.Logger.Info("quarantine released", "fingerprint", text, "who", who)
	return a.writeOK(c, outcomeOK, struct{}{})
}
