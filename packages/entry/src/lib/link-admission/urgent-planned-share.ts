/**
The share of a link's rate up to which the most urgent requests are admitted. It is above the share that is planned for all ranks, since an urgent caller
loses more by another try than by the somewhat longer queue, and below 1, since a full link has a queue without end.
*/
export const urgentPlannedShare = 0.9;
