import type {ConfigMonitor} from './config-monitor.js';
import {isConfigOutdated} from './is-config-outdated.js';

type Options = {
	/** Within what time a newer configuration must take effect, in ms; no limit by default. */
	readonly applyMs: number | undefined;
	/** Whether this host cannot keep up with its own work. */
	readonly isOverloaded: () => boolean;
	/** How many hosts are listed for this hall, this one included. */
	readonly hallSize: () => number;
	/** The shortest time since anything came from a peer, in ms; infinite where nothing did. */
	readonly peersQuietMs: () => number;
	/** Elapsed ms. */
	readonly elapsed: () => number;
};

/** Creates the monitor of a host without a configuration. */
export const createConfigMonitor = ({applyMs, isOverloaded, hallSize, peersQuietMs, elapsed}: Options): ConfigMonitor => {
	let confirmedAt = Number.NEGATIVE_INFINITY;
	let newerHeardAt = Number.NEGATIVE_INFINITY;

	const proof: ConfigMonitor['proof'] = () => ({ageMs: elapsed() - confirmedAt, applyMs});

	return {
		confirm(at) {
			confirmedAt = Math.max(confirmedAt, at);
		},
		noteUnread(heardAt) {
			newerHeardAt = heardAt ?? Number.NEGATIVE_INFINITY;
		},
		proof,
		isOutdated() {
			const {ageMs} = proof();
			// The links to all peers are looked at only where the answer depends on them.
			if (applyMs === undefined || ageMs <= applyMs) {
				return false;
			}

			// The only host of a hall serves on: callers of the hall have no other.
			const isCutOffByLoad = isOverloaded() && hallSize() > 1 && peersQuietMs() > applyMs;
			return isConfigOutdated({ageMs, applyMs}, {newerAgeMs: elapsed() - newerHeardAt, isCutOffByLoad});
		},
	};
};
