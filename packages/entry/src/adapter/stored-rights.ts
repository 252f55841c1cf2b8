import type {RightsObject} from '@deckwheel/ledger';

/** An object of rights as the store holds it. */
export type StoredRights = {
	readonly rights: RightsObject;
	/** 0 while there is none. A later era of the store has higher ones than all before it. */
	readonly revision: number;
	/** The era of the store that gave it out, 0 by default. A later era may lack what earlier ones acknowledged. */
	readonly era?: number;
};
