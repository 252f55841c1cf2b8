import type {HostStatus} from './host-status.js';

/** What changes the picture of the hosts. */
export type MembershipEvent =
	/** From the settings, or from a peer: a host that there may be. */
	| {readonly type: 'told'; readonly hosts: ReadonlyArray<{readonly host: string; readonly hall: string; readonly address: string}>}
	/** The platform's list, which lags. */
	| {readonly type: 'listed'; readonly hosts: ReadonlyArray<{readonly host: string; readonly hall: string; readonly address: string; readonly state: 'live' | 'leaving'}>}
	/** A heartbeat or its answer. */
	| {readonly type: 'heard'; readonly status: HostStatus}
	| {readonly type: 'tick'};
