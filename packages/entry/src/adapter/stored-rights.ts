import type {RightsObject} from '@deckwheel/ledger';

/** The rights of one slot as the store holds them. */
export type StoredRights = {
	readonly rights: RightsObject;
	/** 0 while the object does not exist. Revisions of a later era of the store are higher than all those of earlier eras. */
	readonly revision: number;
	/**
	The era of the store in which this revision was read or written, 0 by default. An era begins when the store is restored from an
	older copy, so a later era may lack writes that an earlier era acknowledged.
	*/
	readonly era?: number;
};
