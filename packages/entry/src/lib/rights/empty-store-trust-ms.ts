/**
How long no draw is made after the store's record showed nothing left of a budget, in ms. After that time other hosts may have returned
rights to the store.
*/
export const emptyStoreTrustMs = 300;
