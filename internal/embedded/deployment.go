// Package embedded runs a whole deployment in one process: entry nodes with
// stand-ins for the platform, model engines and services. It is for trying the
// router out, demonstrations and benchmarks.
package embedded

import (
	"fmt"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
)

// Deployment describes the systems of one example user: where they run and how
// many there are.
type Deployment struct {
	// Name is the name of the example folder.
	Name string
	// Region and DataCentres are where the VMs run.
	Region      string
	DataCentres []string
	// Pool is the name of the engines' pool and Service that of the plain
	// service. Engines and ServiceReplicas are the numbers of their replicas.
	Pool            string
	Engines         int
	Service         string
	ServiceReplicas int
}

// Deployments of the examples folder.
var (
	Virtanen = Deployment{
		Name: "virtanen", Region: "etelainen", DataCentres: []string{"lahti-1", "kouvola-1", "hml-1"},
		Pool: "mallipalvelin", Engines: 9, Service: "kirjauspalvelu", ServiceReplicas: 3,
	}
	Turnoflor = Deployment{
		Name: "turnoflor", Region: "interior", DataCentres: []string{"durazno", "florida", "tacuarembo", "flores"},
		Pool: "cowslip-pool", Engines: 12, Service: "rota-app", ServiceReplicas: 4,
	}
)

// Deployments holds the example deployments by name.
var Deployments = map[string]Deployment{Virtanen.Name: Virtanen, Turnoflor.Name: Turnoflor}

// VM returns the VM list entry of the i-th replica, from 0, of a pool or
// service. Replicas are spread evenly over the data centres.
func (d Deployment) VM(pool string, i int, address string) infra.VM {
	return infra.VM{
		ID: fmt.Sprintf("%s-%d", pool, i+1), Address: address, Region: d.Region,
		DataCentre: d.DataCentres[i%len(d.DataCentres)], Role: infra.RoleBackend, Pool: pool,
	}
}

// Targets returns the versions that the deployment's pool serves, nil if the
// configuration has no such pool.
func (d Deployment) Targets(c *config.Config) []config.Target {
	if p := c.Pools[d.Pool]; p != nil {
		return p.Targets
	}
	return nil
}

// Qualities returns the configured quality of each version.
func Qualities(c *config.Config) map[config.Target]float64 {
	qualities := map[config.Target]float64{}
	for model, m := range c.Models {
		for version, settings := range m.Versions {
			qualities[config.Target{Model: model, Version: version}] = settings.Quality
		}
	}
	return qualities
}
