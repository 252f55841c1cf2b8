import {holdAheadByDemand, holdAheadByShare} from '@deckwheel/ledger';
import type {CreatePolicy} from './create-policy.js';
import {fixedShare} from './fixed-share.js';
import {ledgerPolicy} from './ledger-policy.js';
import {naiveCounter} from './naive-counter.js';
import {oracle} from './oracle.js';

const tenMinutes = {horizonSeconds: 600, shareOfRest: 0.8};
const twoMinutes = {horizonSeconds: 120, shareOfRest: 0.4};

/** Every policy that was weighed, by name. */
export const policies: Readonly<Record<string, CreatePolicy>> = {
	'naive counter': naiveCounter,
	'fixed share a host': fixedShare('host'),
	'fixed share a hall': fixedShare('hall'),
	'by demand, 10 min': ledgerPolicy({
		holdAhead: holdAheadByDemand(tenMinutes), surplusFactor: 4, hasTransfers: false, hasFallback: false,
	}),
	'by demand, 10 min, transfers': ledgerPolicy({
		holdAhead: holdAheadByDemand(tenMinutes), surplusFactor: 4, hasTransfers: true, hasFallback: false,
	}),
	'by demand, 2 min, transfers': ledgerPolicy({
		holdAhead: holdAheadByDemand(twoMinutes), surplusFactor: 4, hasTransfers: true, hasFallback: false,
	}),
	'by share, all, transfers': ledgerPolicy({
		holdAhead: holdAheadByShare({shareOfRest: 1}), surplusFactor: 1.25, hasTransfers: true, hasFallback: false,
	}),
	'by share, all, transfers, fallback': ledgerPolicy({
		holdAhead: holdAheadByShare({shareOfRest: 1}), surplusFactor: 1.25, hasTransfers: true, hasFallback: true,
	}),
	'by share, half, transfers, fallback': ledgerPolicy({
		holdAhead: holdAheadByShare({shareOfRest: 0.5}), surplusFactor: 1.25, hasTransfers: true, hasFallback: true,
	}),
	oracle,
};
