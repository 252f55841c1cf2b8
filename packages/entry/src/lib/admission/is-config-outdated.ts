import type {ConfigProof} from './config-proof.js';

/** What shows that the configuration in force is not the newest one, or may well not be. */
type ConfigDoubt = {
	/** How long ago a peer last told of a newer configuration that this host has not read, in ms; infinite where none did. */
	readonly newerAgeMs: number;
	/** For how long no reply of a peer has come in time although peers are in reach, in ms. */
	readonly repliesLateMs: number;
};

/** The part of the bound on changes after which a host without replies in time takes its link to be used up: many requests to peers end in it. */
const lateRepliesShare = 0.5;

/**
Decides whether this host serves no requests because its configuration is outdated. Pure.

A host that is cut off serves by the configuration that it has: nobody there knows a newer one. One that is told of a newer configuration by its
peers is not cut off, and neither is one whose peers are in reach while all replies, of the store too, are late, because callers use its link up.
Other hosts take the requests of both.
*/
export const isConfigOutdated = ({ageMs, applyMs}: ConfigProof, {newerAgeMs, repliesLateMs}: ConfigDoubt): boolean =>
	applyMs !== undefined && ageMs > applyMs && (newerAgeMs <= applyMs || repliesLateMs > applyMs * lateRepliesShare);
