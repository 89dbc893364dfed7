package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// whoKey is the key of the operator's name in a request's context.
const whoKey = "who"

// anonymous is the name of an operator who gave none.
const anonymous = "anonymous"

// operatorsByHash maps the hash of each token to its operator's name. The time to
// look up a hash does not depend on how much of a guessed token is right.
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

// authorize refuses requests without a valid token and stores the name of the operator
// in the context.
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

// operator returns the name of the operator who sent a request, and whether the request
// is authorized.
func (a *api) operator(r *http.Request) (string, bool) {
	secret, present := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if present {
		// A wrong token is refused even if no token is needed. Otherwise the audit
		// would record another name than the one the sender expects.
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

// setAgeHeader sets a header on each answer that says how old the state of this VM may
// be.
func (a *api) setAgeHeader(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		if a.Confirmed != nil {
			if age, known := a.Confirmed(); known {
				c.Response().Header().Set(oriolebend.HeaderAge, age.String())
			}
		}
		return next(c)
	}
}
