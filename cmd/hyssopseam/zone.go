package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hyssopseam/core/hsid"
	"hyssopseam/io/hsjson"
)

func (t *tool) zoneCommand() *ffcli.Command {
	list := t.viewCommand("list", "the evacuated availability zones", "/v1/zones", t.printZones)
	list.ShortUsage = "hyssopseam zone list"
	return group("zone", "evacuate and restore availability zones",
		list,
		t.zoneChangeCommand("evacuate", "keep new work off the workers of a zone; what runs there goes on"),
		t.zoneChangeCommand("restore", "end the evacuation of a zone"))
}

func (t *tool) printZones(data []byte) error {
	var zones []hsid.ZoneID
	if err := hsjson.Unmarshal(data, &zones); err != nil {
		return err
	}
	for _, z := range zones {
		fmt.Fprintln(t.out, z)
	}
	return nil
}

func (t *tool) zoneChangeCommand(action, help string) *ffcli.Command {
	fs := t.flags(action)
	c := newClient(fs)
	return &ffcli.Command{
		Name: action, ShortUsage: "hyssopseam zone " + action + " ZONE", ShortHelp: help,
		FlagSet: fs, Options: serverOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("usage: hyssopseam zone %s ZONE", action)
			}
			_, err := c.do(ctx, call{method: http.MethodPost, path: "/v1/zones/" + url.PathEscape(args[0]) + "/" + action})
			return err
		},
	}
}
