/**
Objects among which budgets are spread. All hosts must agree on it, for good: stored rights depend on it. Fewer objects mean
more conflicts, more objects more calls. Chosen without a measurement.
*/
export const slotCount = 4;
