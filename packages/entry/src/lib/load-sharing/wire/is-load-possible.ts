import {promptUnitTokens} from './prompt-unit-tokens.js';

/** The most requests that one host can have open at one endpoint. A host has file descriptors for about that many connections. */
const maxOpenPerHost = 10_000;

/** The most prompt tokens of one request, above the context of any model. */
const maxPromptTokens = 4_000_000;

const isCount = (value: number): boolean => Number.isSafeInteger(value) && value >= 0;

/** Whether some hosts can have that much open at one endpoint. */
export const isLoadPossible = (open: number, promptUnits: number, hosts: number): boolean =>
	isCount(open) && isCount(promptUnits) && open <= maxOpenPerHost * hosts && promptUnits <= open * maxPromptTokens / promptUnitTokens;
