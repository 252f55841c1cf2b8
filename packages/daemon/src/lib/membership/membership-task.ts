import type {HostStatus} from './host-status.js';
import type {KnownHost} from './known-host.js';

/** The task that knows the hosts. */
export type MembershipTask = {
	/** What this host says of itself. */
	readonly status: () => HostStatus;
	/** Handles a heartbeat of a peer, and returns the answer to it. */
	readonly heard: (status: HostStatus) => HostStatus;
	readonly hosts: () => readonly KnownHost[];
	/** The address of an incarnation, if its host is known and still runs that incarnation. */
	readonly addressOf: (incarnation: string) => string | undefined;
	/** Whether an incarnation is believed to be gone: replaced by a newer one, or silent for long. */
	readonly isGone: (incarnation: string) => boolean;
	/** Whether an incarnation is believed never to come back with what it knew. Asks for more evidence than `isGone`. */
	readonly isLost: (incarnation: string) => boolean;
	/** Incarnations in this hall that may take up new work, this one included unless it is leaving. */
	readonly liveInHall: () => readonly string[];
	/** Addresses of hosts in a hall that were heard of lately, most recent first. */
	readonly addressesIn: (hall: string) => readonly string[];
	readonly leave: () => void;
	readonly stop: () => Promise<void>;
};
