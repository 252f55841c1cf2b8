/** The share of the rank below the most urgent one. With an eighth, each of its routes is served now and then, and most of the link stays with urgent requests. */
const firstShare = 1 / 8;

/**
Returns the share of the planned link rate that requests of a rank get even while more urgent ones would fill the link. Each further rank gets
half as much as the one before it, so that all guarantees together take less than a quarter. Pure.

@param rank 0 for the most urgent requests, which need no guarantee.
*/
export const guaranteedShare = (rank: number): number => rank === 0 ? 0 : firstShare / (2 ** (rank - 1));
