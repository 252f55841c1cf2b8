import {addLinkBytes} from './add-link-bytes.js';
import {backlogLimitMs} from './backlog-limit-ms.js';
import {drainLinkLoad} from './drain-link-load.js';
import {leastUrgentRank} from './least-urgent-rank.js';
import type {LinkLoad} from './link-load.js';
import type {Transfer} from './transfer.js';

/**
The backlog above which guaranteed requests are refused too, in ms. It is longer than the limit of the most urgent requests: these are often small
and would otherwise take each gap before a larger request fits.
*/
const guaranteeLimitMs = 400;

/**
How much of a guarantee may be used ahead, in ms. Without this, the guarantee would be lost while a rank waits for its next request.
*/
const guaranteeAheadMs = 20;

type TransferDecision = {readonly load: LinkLoad; readonly isAdmitted: boolean};

const backlogOf = ({in: inLoad, out}: LinkLoad, rank: number): number => rank === 0
	? Math.max(inLoad.urgentBacklogMs, out.urgentBacklogMs)
	: Math.max(inLoad.backlogMs, out.backlogMs);

const isWithinGuarantee = (load: LinkLoad, rank: number): boolean =>
	rank > 0 && backlogOf(load, 0) <= guaranteeLimitMs && load.guaranteeUsedMs[rank]! <= guaranteeAheadMs;

/**
Decides whether the link of this host has room for a request, and adds the request's expected bytes to the load. Pure.

This answers callers that send more to one host than its link carries while other hosts have room. A refusal at once costs a caller one more try;
a response that is late because of a full link is lost for an urgent caller. Up to a first backlog, all requests are admitted. Above it, only
the most urgent ones are, up to a second limit, and of each other rank as much as its guaranteed share of the link carries.

Only the backlog before a request counts, so an idle link admits a request of any size.

@param linkBytesPerMs What the link carries in each direction.
@param now Monotonic ms.
*/
export const decideTransfer = (before: LinkLoad, transfer: Transfer, linkBytesPerMs: number, now: number): TransferDecision => {
	const load = drainLinkLoad(before, now);
	const rank = Math.min(transfer.rank, leastUrgentRank);
	const isBelowLimit = backlogOf(load, rank) <= backlogLimitMs(rank);
	if (!isBelowLimit && !isWithinGuarantee(load, rank)) {
		return {load: addLinkBytes(load, {inBytes: transfer.requestBytes, outBytes: 0}, linkBytesPerMs), isAdmitted: false};
	}

	const bytes = transfer.requestBytes + transfer.responseBytes;
	const loaded = addLinkBytes(load, {inBytes: bytes, outBytes: bytes}, linkBytesPerMs);
	return {
		load: isBelowLimit ? loaded : {...loaded, guaranteeUsedMs: load.guaranteeUsedMs.with(rank, load.guaranteeUsedMs[rank]! + (bytes / linkBytesPerMs))},
		isAdmitted: true,
	};
};
