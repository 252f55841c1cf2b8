import type {ConfigMonitor} from './config-monitor.js';
import {isConfigOutdated} from './is-config-outdated.js';

type Options = {
	/** Within what time a newer configuration must take effect, in ms; `undefined` where no bound is set. */
	readonly applyMs: number | undefined;
	/** For how long no reply of a peer has come in time although peers are in reach, in ms. */
	readonly repliesLateMs: () => number;
	/** Elapsed ms. */
	readonly elapsed: () => number;
};

/** Creates the monitor of a host without a configuration. */
export const createConfigMonitor = ({applyMs, repliesLateMs, elapsed}: Options): ConfigMonitor => {
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
		isOutdated: () => isConfigOutdated(proof(), {newerAgeMs: elapsed() - newerHeardAt, repliesLateMs: repliesLateMs()}),
	};
};
