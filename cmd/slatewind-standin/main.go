// Command slatewind-standin runs stand-ins for demonstrations and measurements: the
// platform and the servers in one process, or a driver that sends requests as callers do.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/internal/standin"
)

type serveCommand struct {
	Platform string        `long:"platform" description:"IP:port on which the platform listens" required:"true"`
	Fleet    string        `long:"fleet" description:"operators' file to publish; its servers are started too" required:"true"`
	PeerPort int           `long:"peer-port" description:"port of slatewindd on each VM, for the VM list" default:"8090"`
	Median   time.Duration `long:"median" description:"median service time" default:"8ms"`
	Zones    []string      `long:"zone" description:"data centre of a VM, as VM=DATACENTRE; may be repeated"`
}

type driveCommand struct {
	Ingresses []string      `long:"ingress" description:"IP:port of an ingress; may be repeated" required:"true"`
	Targets   []string      `long:"target" description:"requests to send, as METHOD:PATH:repeatable|once:SHARE; may be repeated" required:"true"`
	Rate      float64       `long:"rate" description:"requests per second" default:"100"`
	For       time.Duration `long:"for" description:"how long to send" default:"5s"`
	Servers   []string      `long:"server" description:"IP:port of a stand-in server whose executed requests are counted; may be repeated"`
	// WorkspaceKey can be set in the environment, since other users can read a command line.
	WorkspaceKey string `long:"workspace-key" env:"WORKSPACE_KEY" description:"workspace key to send with each request"`
}

type controlCommand struct {
	Args struct {
		URL string `positional-arg-name:"URL" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *controlCommand) Execute([]string) error {
	response, err := http.Post(c.Args.URL, "text/plain", http.NoBody)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

type compareCommand struct {
	Through string `long:"through" description:"IP:port of an ingress" required:"true"`
	Direct  string `long:"direct" description:"IP:port of a stand-in server" required:"true"`
	Path    string `long:"path" description:"path to request" default:"/"`
	Count   int    `long:"count" description:"number of requests on each path" default:"3000"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	took, err := standin.Compare(c.Count, "http://"+c.Direct+c.Path, "http://"+c.Through+c.Path)
	if err != nil {
		return err
	}
	for i, name := range []string{"direct", "through"} {
		fmt.Printf("%-8s median %s  p99 %s\n", name, standin.Quantile(took[i], 0.5), standin.Quantile(took[i], 0.99))
	}
	return nil
}

func main() {
	parser := flags.NewNamedParser("slatewind-standin", flags.Default)
	_, err := parser.AddCommand("serve", "run the platform and the servers", "", &serveCommand{})
	must(err)
	_, err = parser.AddCommand("drive", "send requests and count their outcomes", "", &driveCommand{})
	must(err)
	_, err = parser.AddCommand("compare", "compare the latency of requests through an ingress and directly to a server", "", &compareCommand{})
	must(err)
	_, err = parser.AddCommand("control", "make a stand-in fail by a POST to a /control URL", "", &controlCommand{})
	must(err)
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	text, err := os.ReadFile(c.Fleet)
	if err != nil {
		return err
	}
	fleet, err := config.ParseFleet(c.Fleet, text)
	if err != nil {
		return err
	}
	zones := map[string]string{}
	for _, zone := range c.Zones {
		vm, dataCentre, _ := strings.Cut(zone, "=")
		zones[vm] = dataCentre
	}
	platform := standin.NewPlatform()
	platform.Publish(text)
	failed := make(chan error, 1)
	serve(failed, c.Platform, platform.Handler())
	for _, service := range fleet.GetServices() {
		for _, server := range service.GetServers() {
			ip, _, _ := strings.Cut(server.GetAddress(), ":")
			platform.SetVM(slatewind.VM{
				Name: server.GetVm(), DataCentre: zones[server.GetVm()], State: slatewind.VMLive,
				PeerAddress: fmt.Sprintf("%s:%d", ip, c.PeerPort),
			})
			const spread = 0.4
			standinServer := standin.NewServer(server.GetName(), int(server.GetSlots()), c.Median, spread)
			serve(failed, server.GetAddress(), standinServer.Handler())
		}
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

func serve(failed chan<- error, address string, handler http.Handler) {
	go func() {
		server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: time.Second}
		failed <- server.ListenAndServe()
	}()
}

// Execute implements flags.Commander.
func (c *driveCommand) Execute([]string) error {
	driver := &standin.Driver{Ingresses: c.Ingresses, Rate: c.Rate, WorkspaceKey: c.WorkspaceKey}
	for _, text := range c.Targets {
		var target standin.Target
		var kind string
		_, err := fmt.Sscanf(strings.ReplaceAll(text, ":", " "), "%s %s %s %f", &target.Method, &target.Path, &kind, &target.Share)
		if err != nil {
			return fmt.Errorf("target %q: %w", text, err)
		}
		target.Once = kind == string(slatewind.KindOnce)
		driver.Targets = append(driver.Targets, target)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.For)
	defer cancel()
	driver.Run(ctx)
	doubled, err := c.doubled()
	if err != nil {
		return err
	}
	for _, note := range driver.Notes() {
		fmt.Println("no complete answer:", note)
	}
	n := &driver.Counts
	fmt.Printf("wrong=%d failed=%d\n", n.Wrong.Load(), n.Failed.Load())
	fmt.Printf("requests=%d whole=%d doubled=%d not_run=%d unknown=%d\n",
		n.Requests.Load(), n.Whole.Load(), doubled, n.NotRun.Load(), n.Unknown.Load())
	return nil
}

// doubled returns how many keys were executed more than once, over all servers.
func (c *driveCommand) doubled() (int, error) {
	total := map[string]int{}
	for _, address := range c.Servers {
		response, err := http.Get("http://" + address + "/control/runs")
		if err != nil {
			return 0, err
		}
		runs := map[string]int{}
		err = json.NewDecoder(response.Body).Decode(&runs)
		_ = response.Body.Close()
		if err != nil {
			return 0, err
		}
		for key, n := range runs {
			total[key] += n
		}
	}
	doubled := 0
	for _, n := range total {
		if n > 1 {
			doubled++
		}
	}
	return doubled, nil
}
