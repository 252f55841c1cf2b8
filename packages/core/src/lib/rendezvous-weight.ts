import {hash32} from '../hash32.js';

/** How much a member weighs for a key. The same on every host. */
export const rendezvousWeight = (key: string, member: string): number => hash32(`${member}\n${key}`);
