package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// whoKey is where the name of the operator stands in a request's context.
const whoKey = "who"

// anonymous is an operator without a name.
const anonymous = "anonymous"

// operatorsByHash maps the hash of each token to its operator's name. Looking
// up a hash takes the same time whatever part of a guessed token is right.
func operatorsByHash(tokens []string) map[[32]byte]string {
	operators := make(map[[32]byte]string, len(tokens))
	for _, token := range tokens {
		name, secret, named := strings.Cut(token, "=")
		if !named {
			secret = token
			hash := sha256.Sum256([]byte(token))
			name = "token-" + hex.EncodeToString(hash[:4])
		}
		if secret != "" {
			operators[sha256.Sum256([]byte(secret))] = name
		}
	}
	return operators
}

func (a *api) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		who, ok := a.operator(c.Request())
		if !ok {
			c.Response().Header().Set("WWW-Authenticate", "Bearer")
			return &oriolebend.Problem{
				Reason: oriolebend.ReasonUnauthorized, Ran: oriolebend.RanNo,
				Detail: "an operator's token is needed in Authorization: Bearer",
			}
		}
		c.Set(whoKey, who)
		return next(c)
	}
}

func (a *api) operator(r *http.Request) (string, bool) {
	secret, given := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if given {
		// A wrong token is refused even where none is needed: the audit would
		// name somebody else than its sender takes himself for.
		name, known := a.operators[sha256.Sum256([]byte(secret))]
		return name, known
	}
	if !a.Open {
		return "", false
	}
	if who := r.Header.Get(oriolebend.HeaderWho); who != "" {
		return who, true
	}
	return anonymous, true
}

func (a *api) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, a.MaxBodyBytes)
		return next(c)
	}
}

// stampAge tells with each answer how old this VM's knowledge may be.
func (a *api) stampAge(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		if a.Confirmed != nil {
			if age, known := a.Confirmed(); known {
				c.Response().Header().Set(oriolebend.HeaderAge, age.String())
			}
		}
		return next(c)
	}
}
