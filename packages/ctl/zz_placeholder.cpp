namespace {}
