"""Command ``init``."""

from __future__ import annotations

import pathlib
import secrets
import sys
import time
from typing import TYPE_CHECKING

from limpetreel import exceptions
from limpetreel.consensus import member
from limpetreel.console import command, exit_code
from limpetreel.settings import parsers, peer
from limpetreel.storage import folder_disk, log_store

if TYPE_CHECKING:
    import argparse

FIRST_INCARNATION = 1
FOLDER_ID_BITS = 63


class InitCommand(command.Command):
    """Initialise the data folder of a control instance, once.

    This is a separate command because an empty folder may also result from the loss
    of a disk: an instance that lost its disk must join with a new incarnation.
    """

    name = "init"
    help = "initialise the data folder of a control instance"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the flags."""
        parser.add_argument("--data", type=pathlib.Path, required=True)
        parser.add_argument("--name", type=parsers.name, required=True)
        membership = parser.add_mutually_exclusive_group(required=True)
        membership.add_argument(
            "--new-cluster",
            metavar="PEERS",
            type=parsers.peers,
            help="comma-separated NAME=IP:PORT of all instances of a new cluster; "
            "pass the same list to every instance, and initialise each only once",
        )
        membership.add_argument(
            "--join",
            action="store_true",
            help="join an existing cluster, also after the loss of the disk",
        )

    def run(self, args: argparse.Namespace) -> int:
        """Create the first files of the folder."""
        try:
            store = log_store.LogStore(folder_disk.FolderDisk(args.data))
            if store.recover() is not None:
                print(
                    f"limpetreel: {args.data} is already initialised", file=sys.stderr
                )
                return exit_code.ExitCode.FAILED
            if args.join:
                incarnation = time.time_ns() // 1_000_000
                members: tuple[member.Member, ...] = ()
            else:
                incarnation = FIRST_INCARNATION
                members = _members(args.new_cluster)
            folder = secrets.randbits(FOLDER_ID_BITS)
            store.create(args.name, incarnation, members, folder)
            store.close()
            print(f"{args.data} is initialised: {args.name}, incarnation {incarnation}")
        except exceptions.StorageError as exc:
            print(f"limpetreel: {exc}", file=sys.stderr)
            return exit_code.ExitCode.FAILED
        return exit_code.ExitCode.OK


def _members(peers: tuple[peer.Peer, ...]) -> tuple[member.Member, ...]:
    return tuple(member.Member(p.name, FIRST_INCARNATION, p.host_port) for p in peers)
