import type {RightsObject} from '@deckwheel/ledger';

/** An object of rights as the store holds it. `revision` is 0 while there is none. */
export type StoredRights = {readonly rights: RightsObject; readonly revision: number};
