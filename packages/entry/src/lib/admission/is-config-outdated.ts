import type {ConfigProof} from './config-proof.js';

/** What shows that the configuration in force is not the newest one, or may well not be. */
type ConfigDoubt = {
	/** How long ago a peer last told of a newer configuration that this host has not read, in ms; infinite where none did. */
	readonly newerAgeMs: number;
	/** Whether this host cannot keep up with its callers, and has heard from no peer for longer than the bound. */
	readonly isCutOffByLoad: boolean;
};

/**
Decides whether this host serves no requests because its configuration is outdated. Pure.

A host that is cut off serves by the configuration that it has: nobody there knows a newer one. One that is told of a newer configuration by its
peers is not cut off, and neither is one that gets no answers because callers use its link up: other hosts take the requests of both. The rest of
a proof's time is given to read the newer configuration.
*/
export const isConfigOutdated = ({ageMs, applyMs}: ConfigProof, {newerAgeMs, isCutOffByLoad}: ConfigDoubt): boolean =>
	applyMs !== undefined && ageMs > applyMs && (newerAgeMs <= applyMs || isCutOffByLoad);
