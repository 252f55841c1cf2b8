import {List} from 'immutable';
import {emptyLedger} from '../claims/empty-ledger.js';
import type {Replica} from './replica.js';

/**
A replica on a host that has no role in the slot yet.

@param self This host's incarnation.
*/
export const newReplica = (self: string, slot: number): Replica => ({
	self,
	slot,
	pair: {epoch: 0, generation: 0},
	role: 'retired',
	ledger: emptyLedger(''),
	seq: 0,
	acked: 0,
	synced: false,
	pending: List(),
});
