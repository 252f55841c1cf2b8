/**
Objects among which budgets are spread. All hosts must agree on it, for good: stored rights depend on it. Fewer objects mean
more conflicts, more objects more calls.
*/
export const slotCount = 4;
